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

/** A datagram socket whose {@code recvfrom} and {@code sendto} fail by a schedule. */
final class FaultyDatagramChannel extends DatagramChannel implements Wrapped {

    private final DatagramChannel real;
    private final FaultSchedule schedule;

    FaultyDatagramChannel(SelectorProvider provider, DatagramChannel real, FaultSchedule schedule) {
        super(provider);
        this.real = real;
        this.schedule = schedule;
    }

    @Override
    public SelectableChannel real() {
        return real;
    }

    @Override
    public SocketAddress receive(ByteBuffer into) throws IOException {
        schedule.before(SystemCall.RECVFROM);
        return real.receive(into);
    }

    @Override
    public int send(ByteBuffer from, SocketAddress target) throws IOException {
        schedule.before(SystemCall.SENDTO);
        return real.send(from, target);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        schedule.before(SystemCall.RECVFROM);
        return real.read(into);
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        schedule.before(SystemCall.RECVFROM);
        return real.read(into, offset, length);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        schedule.before(SystemCall.SENDTO);
        return real.write(from);
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        schedule.before(SystemCall.SENDTO);
        return real.write(from, offset, length);
    }

    @Override
    public DatagramChannel bind(SocketAddress local) throws IOException {
        schedule.before(SystemCall.BIND);
        real.bind(local);
        return this;
    }

    @Override
    public DatagramChannel connect(SocketAddress remote) throws IOException {
        schedule.before(SystemCall.CONNECT);
        real.connect(remote);
        return this;
    }

    @Override
    public DatagramChannel disconnect() throws IOException {
        real.disconnect();
        return this;
    }

    @Override
    public <T> DatagramChannel setOption(SocketOption<T> name, T value) throws IOException {
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
    public DatagramSocket socket() {
        return real.socket();
    }

    @Override
    public boolean isConnected() {
        return real.isConnected();
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
        return real.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return real.getLocalAddress();
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface at) throws IOException {
        return real.join(group, at);
    }

    @Override
    public MembershipKey join(InetAddress group, NetworkInterface at, InetAddress source)
            throws IOException {
        return real.join(group, at, source);
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        real.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        schedule.before(SystemCall.CONFIGURE);
        real.configureBlocking(block);
    }
}
