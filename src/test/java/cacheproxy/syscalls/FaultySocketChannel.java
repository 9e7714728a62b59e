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

/**
 * A connection whose system calls fail or transfer fewer bytes as its schedule defines, and that
 * can be broken at any time.
 */
final class FaultySocketChannel extends SocketChannel implements WrappedChannel {

    private final SocketChannel delegate;
    private final FaultSchedule schedule;
    private volatile Errno breakError;

    FaultySocketChannel(SelectorProvider provider, SocketChannel delegate, FaultSchedule schedule) {
        super(provider);
        this.delegate = delegate;
        this.schedule = schedule;
        schedule.opened(this);
    }

    @Override
    public SelectableChannel delegate() {
        return delegate;
    }

    /** Makes every further read and write fail with this error; no selector is notified. */
    void breakSilently(Errno errno) {
        breakError = errno;
    }

    /**
     * Makes every further read and write fail with this error and the connection ready to read, as
     * a selector reports a connection with an error.
     */
    void breakVisibly(Errno errno) {
        breakSilently(errno);
        try {
            delegate.shutdownInput();
        } catch (IOException e) {
            // The connection is not established or already closed: its next call fails anyway.
        }
    }

    private void failIfBroken(SystemCall call) throws IOException {
        if (breakError != null) {
            throw breakError.exception(call);
        }
    }

    @Override
    public boolean connect(SocketAddress remote) throws IOException {
        try {
            schedule.failIfScheduled(SystemCall.CONNECT);
            return delegate.connect(remote);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public boolean finishConnect() throws IOException {
        try {
            schedule.failIfScheduled(SystemCall.FINISH_CONNECT);
            return delegate.finishConnect();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        failIfBroken(SystemCall.READ);
        schedule.failIfScheduled(SystemCall.READ);
        int limit = into.limit();
        into.limit(into.position() + Math.min(into.remaining(), schedule.maxReadBytes()));
        try {
            return delegate.read(into);
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
        schedule.failIfScheduled(SystemCall.WRITE);
        int limit = from.limit();
        from.limit(from.position() + Math.min(from.remaining(), schedule.maxWriteBytes()));
        try {
            int written = delegate.write(from);
            schedule.recordWritten(written);
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
        delegate.close();
    }

    @Override
    protected void implConfigureBlocking(boolean block) throws IOException {
        schedule.failIfScheduled(SystemCall.CONFIGURE);
        delegate.configureBlocking(block);
    }

    @Override
    public SocketChannel bind(SocketAddress local) throws IOException {
        schedule.failIfScheduled(SystemCall.BIND);
        delegate.bind(local);
        return this;
    }

    @Override
    public <T> SocketChannel setOption(SocketOption<T> name, T value) throws IOException {
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
    public SocketChannel shutdownInput() throws IOException {
        delegate.shutdownInput();
        return this;
    }

    @Override
    public SocketChannel shutdownOutput() throws IOException {
        delegate.shutdownOutput();
        return this;
    }

    @Override
    public Socket socket() {
        return breakError == null ? delegate.socket() : new BrokenSocket();
    }

    /** Hides the input shutdown by which {@link #breakVisibly} makes the connection ready. */
    private final class BrokenSocket extends Socket {
        @Override
        public boolean isInputShutdown() {
            return false;
        }

        @Override
        public boolean isOutputShutdown() {
            return delegate.socket().isOutputShutdown();
        }

        @Override
        public SocketAddress getLocalSocketAddress() {
            return delegate.socket().getLocalSocketAddress();
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return delegate.socket().getRemoteSocketAddress();
        }
    }

    @Override
    public boolean isConnected() {
        return delegate.isConnected();
    }

    @Override
    public boolean isConnectionPending() {
        return delegate.isConnectionPending();
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
        return delegate.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
        return delegate.getLocalAddress();
    }
}
