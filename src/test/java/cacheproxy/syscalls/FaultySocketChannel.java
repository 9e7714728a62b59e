package cacheproxy.syscalls;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/** A connection whose calls fail, move fewer bytes or find it broken as its schedule says. */
final class FaultySocketChannel extends SocketChannel implements Wrapped {

    private final SocketChannel real;
    private final FaultSchedule schedule;
    private volatile Errno broken;

    FaultySocketChannel(SelectorProvider provider, SocketChannel real, FaultSchedule schedule) {
        super(provider);
        this.real = real;
        this.schedule = schedule;
        schedule.opened(this);
    }

    @Override
    public SelectableChannel real() {
        return real;
    }

    /** From now on every read and write fails with this; no selector is told. */
    void breakUnseen(Errno errno) {
        broken = errno;
    }

    /** The same, and the selector sees the connection as ready, as it would for an error. */
    void breakWith(Errno errno) {
        breakUnseen(errno);
        try {
            real.shutdownInput();
        } catch (IOException e) {
            // Not connected, or closed meanwhile: the next call tells.
        }
    }

    private void failIfBroken(SystemCall call) throws IOException {
        if (broken != null) {
            throw broken.exception(call);
        }
    }

    @Override
    public boolean connect(SocketAddress remote) throws IOException {
        try {
            schedule.before(SystemCall.CONNECT);
            return real.connect(remote);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public boolean finishConnect() throws IOException {
        try {
            schedule.before(SystemCall.FINISH_CONNECT);
            return real.finishConnect();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        failIfBroken(SystemCall.READ);
        schedule.before(SystemCall.READ);
        int limit = into.limit();
        into.limit(into.position() + Math.min(into.remaining(), schedule.longestRead()));
        try {
            return real.read(into);
        } finally {
            into.limit(limit);
        }
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (into[i].hasRemaining()) {
                return read(into[i]);
            }
        }
        return 0;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        failIfBroken(SystemCall.WRITE);
        schedule.before(SystemCall.WRITE);
        int limit = from.limit();
        from.limit(from.position() + Math.min(from.remaining(), schedule.longestWrite()));
        try {
            int written = real.write(from);
            schedule.wrote(written);
            return written;
        } finally {
            from.limit(limit);
        }
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (from[i].hasRemaining()) {
                return write(from[i]);
            }
        }
        return 0;
    }

    @Override
    protected void implCloseSelectableChannel() throws IOException {
        schedule.closed(this);
        real.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        schedule.before(SystemCall.CONFIGURE);
        real.configureBlocking(block);
    }

    @Override
    public SocketChannel bind(SocketAddress local) throws IOException {
        schedule.before(SystemCall.BIND);
        real.bind(local);
        return this;
    }

    @Override
    public <T> SocketChannel setOption(SocketOption<T> name, T value) throws IOException {
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
    public SocketChannel shutdownInput() throws IOException {
        real.shutdownInput();
        return this;
    }

    @Override
    public SocketChannel shutdownOutput() throws IOException {
        real.shutdownOutput();
        return this;
    }

    @Override
    public Socket socket() {
        return broken == null ? real.socket() : new BrokenSocket();
    }

    /** Tells nothing of the end that {@link #breakWith} has the selector see. */
    private final class BrokenSocket extends Socket {
        @Override
        public boolean isInputShutdown() {
            return false;
        }

        @Override
        public boolean isOutputShutdown() {
            return real.socket().isOutputShutdown();
        }

        @Override
        public SocketAddress getLocalSocketAddress() {
            return real.socket().getLocalSocketAddress();
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return real.socket().getRemoteSocketAddress();
        }
    }

    @Override
    public boolean isConnected() {
        return real.isConnected();
    }

    @Override
    public boolean isConnectionPending() {
        return real.isConnectionPending();
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
        return real.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return real.getLocalAddress();
    }
}
