package cacheproxy.syscalls;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.AbstractSelectableChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/**
 * A selector for wrapped and other channels; a wait may fail, or return at once as if interrupted
 * by a signal.
 */
final class FaultySelector extends AbstractSelector {

    private final Selector delegate;
    private final FaultSchedule schedule;

    FaultySelector(SelectorProvider provider, Selector delegate, FaultSchedule schedule) {
        super(provider);
        this.delegate = delegate;
        this.schedule = schedule;
    }

    @Override
    protected SelectionKey register(
            AbstractSelectableChannel channel, int operations, Object attachment) {
        SelectableChannel target =
                channel instanceof WrappedChannel wrapped ? wrapped.delegate() : channel;
        try {
            return target.register(delegate, operations, attachment);
        } catch (ClosedChannelException e) {
            throw new ClosedSelectorException();
        }
    }

    @Override
    public Set<SelectionKey> keys() {
        return delegate.keys();
    }

    @Override
    public Set<SelectionKey> selectedKeys() {
        return delegate.selectedKeys();
    }

    @Override
    public int selectNow() throws IOException {
        return delegate.selectNow();
    }

    @Override
    public int select(long timeout) throws IOException {
        schedule.failIfScheduled(SystemCall.SELECT);
        return schedule.takeInterrupt() ? 0 : delegate.select(timeout);
    }

    @Override
    public int select() throws IOException {
        return select(0);
    }

    @Override
    public Selector wakeup() {
        delegate.wakeup();
        return this;
    }

    @Override
    protected void implCloseSelector() throws IOException {
        delegate.close();
    }
}
