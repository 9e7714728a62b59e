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

/**
 * A server socket channel whose system calls fail as its schedule defines; accepted connections use
 * the same schedule.
 */
final class FaultyServerSocketChannel extends ServerSocketChannel implements WrappedChannel {

    private final ServerSocketChannel delegate;
    private final FaultSchedule schedule;

    FaultyServerSocketChannel(
            SelectorProvider provider, ServerSocketChannel delegate, FaultSchedule schedule) {
        super(provider);
        this.delegate = delegate;
        this.schedule = schedule;
    }

    @Override
    public SelectableChannel delegate() {
        return delegate;
    }

    @Override
    public SocketChannel accept() throws IOException {
        schedule.failIfScheduled(SystemCall.ACCEPT);
        SocketChannel accepted = delegate.accept();
        return accepted == null ? null : new FaultySocketChannel(provider(), accepted, schedule);
    }

    @Override
    public ServerSocketChannel bind(SocketAddress local, int backlog) throws IOException {
        schedule.failIfScheduled(SystemCall.BIND);
        delegate.bind(local, backlog);
        return this;
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        delegate.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        delegate.configureBlocking(block);
    }

    @Override
    public <T> ServerSocketChannel setOption(SocketOption<T> name, T value) throws IOException {
        delegate.setOption(name, value);
        return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
        return delegate.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return delegate.supportedOptions();
    }

    @Override
    public ServerSocket socket() {
        return delegate.socket();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return delegate.getLocalAddress();
    }
}
