package cacheproxy.raft;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;

/**
 * Files with injected faults: writes fail after a number of bytes; a file sync, a rename or a
 * folder sync fails after a number of successful calls. The last three fail once only, as Linux
 * reports a failed sync once only. Files are not actually synced, since a process that ends loses
 * nothing that it wrote.
 */
class FaultyFiles extends DurableFiles {

    /** Value of a counter below for which no call of that kind fails. */
    static final long NEVER = Long.MAX_VALUE;

    /** Bytes that can still be written; the write that exceeds them is short, later ones fail. */
    long bytesUntilFull = NEVER;

    /** File syncs that still succeed before one fails. */
    long syncsUntilFault = NEVER;

    /** Renames that still succeed before one fails. */
    long renamesUntilFault = NEVER;

    /** Folder syncs that still succeed before one fails. */
    long folderSyncsUntilFault = NEVER;

    /** The most bytes that one write accepts. */
    int maxBytesPerWrite = Integer.MAX_VALUE;

    /** Whether truncating a file fails, so that a partially written line stays in it. */
    boolean truncateFails;

    /** Whether every call that changes something fails. */
    volatile boolean broken;

    /** The number of calls that have failed. */
    int faults;

    /** Removes all faults, so that all calls succeed again. */
    void repair() {
        bytesUntilFull = NEVER;
        syncsUntilFault = NEVER;
        renamesUntilFault = NEVER;
        folderSyncsUntilFault = NEVER;
        truncateFails = false;
        broken = false;
    }

    private IOException newFault(String message) {
        faults++;
        return new IOException(message);
    }

    private void failIfBroken() throws IOException {
        if (broken) {
            throw newFault("Input/output error");
        }
    }

    @Override
    FileChannel create(Path file) throws IOException {
        failIfBroken();
        return new FaultyChannel(super.create(file));
    }

    @Override
    void rename(Path from, Path to) throws IOException {
        failIfBroken();
        if (renamesUntilFault-- == 0) {
            throw newFault("Input/output error");
        }
        super.rename(from, to);
    }

    @Override
    void syncFolder(Path folder) throws IOException {
        failIfBroken();
        if (folderSyncsUntilFault-- == 0) {
            throw newFault("Input/output error");
        }
    }

    private final class FaultyChannel extends FileChannel {
        private final FileChannel real;

        FaultyChannel(FileChannel real) {
            this.real = real;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            failIfBroken();
            if (bytesUntilFull == 0) {
                throw newFault("No space left on device");
            }
            int length =
                    (int) Math.min(Math.min(maxBytesPerWrite, bytes.remaining()), bytesUntilFull);
            int written = real.write(bytes.slice(bytes.position(), length));
            bytes.position(bytes.position() + written);
            bytesUntilFull -= bytesUntilFull == NEVER ? 0 : written;
            return written;
        }

        @Override
        public void force(boolean metaData) throws IOException {
            failIfBroken();
            if (syncsUntilFault-- == 0) {
                throw newFault("Input/output error");
            }
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            failIfBroken();
            if (truncateFails) {
                throw newFault("Input/output error");
            }
            real.truncate(size);
            return this;
        }

        @Override
        public long position() throws IOException {
            return real.position();
        }

        @Override
        public FileChannel position(long position) throws IOException {
            real.position(position);
            return this;
        }

        @Override
        public long size() throws IOException {
            return real.size();
        }

        @Override
        protected void implCloseChannel() throws IOException {
            real.close();
        }

        @Override
        public int read(ByteBuffer to) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long read(ByteBuffer[] to, int offset, int length) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long write(ByteBuffer[] from, int offset, int length) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long transferTo(long position, long count, WritableByteChannel target) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long transferFrom(ReadableByteChannel source, long position, long count) {
            throw new UnsupportedOperationException();
        }

        @Override
        public int read(ByteBuffer to, long position) {
            throw new UnsupportedOperationException();
        }

        @Override
        public int write(ByteBuffer from, long position) {
            throw new UnsupportedOperationException();
        }

        @Override
        public MappedByteBuffer map(MapMode mode, long position, long size) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock lock(long position, long size, boolean shared) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) {
            throw new UnsupportedOperationException();
        }
    }
}
