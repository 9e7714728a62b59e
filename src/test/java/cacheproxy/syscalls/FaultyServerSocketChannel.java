package cacheproxy.syscalls;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/** A listener whose calls fail as its schedule says; what it accepts goes by the same schedule. */
final class FaultyServerSocketChannel extends ServerSocketChannel implements Wrapped {

    private final ServerSocketChannel real;
    private final FaultSchedule schedule;

    FaultyServerSocketChannel(
            SelectorProvider provider, ServerSocketChannel real, FaultSchedule schedule) {
        super(provider);
        this.real = real;
        this.schedule = schedule;
    }

    @Override
    public SelectableChannel real() {
        return real;
    }

    @Override
    public SocketChannel accept() throws IOException {
        schedule.before(SystemCall.ACCEPT);
        SocketChannel accepted = real.accept();
        return accepted == null ? null : new FaultySocketChannel(provider(), accepted, schedule);
    }

    @Override
    public ServerSocketChannel bind(SocketAddress local, int backlog) throws IOException {
        schedule.before(SystemCall.BIND);
        real.bind(local, backlog);
        return this;
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        real.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        real.configureBlocking(block);
    }

    @Override
    public <T> ServerSocketChannel setOption(SocketOption<T> name, T value) throws IOException {
        real.setOption(name, value);
        return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
        return real.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return real.supportedOptions();
    }

    @Override
    public ServerSocket socket() {
        return real.socket();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return real.getLocalAddress();
    }
}
