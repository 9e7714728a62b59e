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
 * Waits for wrapped channels and others alike; a wait may fail, or end at once as one that a signal
 * interrupted.
 */
final class FaultySelector extends AbstractSelector {

    private final Selector real;
    private final FaultSchedule schedule;

    FaultySelector(SelectorProvider provider, Selector real, FaultSchedule schedule) {
        super(provider);
        this.real = real;
        this.schedule = schedule;
    }

    @Override
    protected SelectionKey register(
            AbstractSelectableChannel channel, int operations, Object attachment) {
        SelectableChannel target = channel instanceof Wrapped wrapped ? wrapped.real() : channel;
        try {
            return target.register(real, operations, attachment);
        } catch (ClosedChannelException e) {
            throw new ClosedSelectorException();
        }
    }

    @Override
    public Set<SelectionKey> keys() {
        return real.keys();
    }

    @Override
    public Set<SelectionKey> selectedKeys() {
        return real.selectedKeys();
    }

    @Override
    public int selectNow() throws IOException {
        return real.selectNow();
    }

    @Override
    public int select(long timeout) throws IOException {
        schedule.before(SystemCall.SELECT);
        return schedule.interruptsWait() ? 0 : real.select(timeout);
    }

    @Override
    public int select() throws IOException {
        return select(0);
    }

    @Override
    public Selector wakeup() {
        real.wakeup();
        return this;
    }

    @Override
    protected void implCloseSelector() throws IOException {
        real.close();
    }
}
