package cacheproxy.syscalls;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.NetworkInterface;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.MembershipKey;
import java.nio.channels.SelectableChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/** A datagram channel whose system calls fail as its schedule defines. */
final class FaultyDatagramChannel extends DatagramChannel implements WrappedChannel {

    private final DatagramChannel delegate;
    private final FaultSchedule schedule;

    FaultyDatagramChannel(
            SelectorProvider provider, DatagramChannel delegate, FaultSchedule schedule) {
        super(provider);
        this.delegate = delegate;
        this.schedule = schedule;
    }

    @Override
    public SelectableChannel delegate() {
        return delegate;
    }

    @Override
    public SocketAddress receive(ByteBuffer into) throws IOException {
        schedule.failIfScheduled(SystemCall.RECVFROM);
        return delegate.receive(into);
    }

    @Override
    public int send(ByteBuffer from, SocketAddress target) throws IOException {
        schedule.failIfScheduled(SystemCall.SENDTO);
        return delegate.send(from, target);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        schedule.failIfScheduled(SystemCall.RECVFROM);
        return delegate.read(into);
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        schedule.failIfScheduled(SystemCall.RECVFROM);
        return delegate.read(into, offset, length);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        schedule.failIfScheduled(SystemCall.SENDTO);
        return delegate.write(from);
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        schedule.failIfScheduled(SystemCall.SENDTO);
        return delegate.write(from, offset, length);
    }

    @Override
    public DatagramChannel bind(SocketAddress local) throws IOException {
        schedule.failIfScheduled(SystemCall.BIND);
        delegate.bind(local);
        return this;
    }

    @Override
    public DatagramChannel connect(SocketAddress remote) throws IOException {
        schedule.failIfScheduled(SystemCall.CONNECT);
        delegate.connect(remote);
        return this;
    }

    @Override
    public DatagramChannel disconnect() throws IOException {
        delegate.disconnect();
        return this;
    }

    @Override
    public <T> DatagramChannel setOption(SocketOption<T> name, T value) throws IOException {
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
    public DatagramSocket socket() {
        return delegate.socket();
    }

    @Override
    public boolean isConnected() {
        return delegate.isConnected();
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
        return delegate.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return delegate.getLocalAddress();
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface networkInterface)
            throws IOException {
        return delegate.join(group, networkInterface);
    }

    @Override
    public MembershipKey join(
            InetAddress group, NetworkInterface networkInterface, InetAddress source)
            throws IOException {
        return delegate.join(group, networkInterface, source);
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        delegate.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        schedule.failIfScheduled(SystemCall.CONFIGURE);
        delegate.configureBlocking(block);
    }
}
