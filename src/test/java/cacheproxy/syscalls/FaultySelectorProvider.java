package cacheproxy.syscalls;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/**
 * Provides channels and selectors of the Java library whose system calls fail as a schedule
 * defines. The selectors also wait for channels of other providers, so that one event loop can use
 * several schedules. Pipes are the library's own and do not fail.
 */
public final class FaultySelectorProvider extends SelectorProvider {

    private final SelectorProvider defaultProvider = SelectorProvider.provider();
    private final FaultSchedule schedule;

    public FaultySelectorProvider(FaultSchedule schedule) {
        this.schedule = schedule;
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultySocketChannel(this, defaultProvider.openSocketChannel(), schedule);
    }

    @Override
    public SocketChannel openSocketChannel(ProtocolFamily family) throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultySocketChannel(this, defaultProvider.openSocketChannel(family), schedule);
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultyServerSocketChannel(
                this, defaultProvider.openServerSocketChannel(), schedule);
    }

    @Override
    public ServerSocketChannel openServerSocketChannel(ProtocolFamily family) throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultyServerSocketChannel(
                this, defaultProvider.openServerSocketChannel(family), schedule);
    }

    @Override
    public AbstractSelector openSelector() throws IOException {
        schedule.failIfScheduled(SystemCall.EPOLL_CREATE);
        return new FaultySelector(this, defaultProvider.openSelector(), schedule);
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultyDatagramChannel(this, defaultProvider.openDatagramChannel(), schedule);
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        schedule.failIfScheduled(SystemCall.SOCKET);
        return new FaultyDatagramChannel(
                this, defaultProvider.openDatagramChannel(family), schedule);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return defaultProvider.openPipe();
    }
}
