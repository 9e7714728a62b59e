package cacheproxy.raft;

import io.microraft.executor.RaftNodeExecutor;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs MicroRaft's tasks on a Netty event loop. */
record EventLoopExecutor(EventLoop loop) implements RaftNodeExecutor {
    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        if (!loop.isShuttingDown()) {
            loop.schedule(task, delay, unit);
        }
    }
}
