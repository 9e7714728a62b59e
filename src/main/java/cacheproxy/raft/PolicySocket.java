package cacheproxy.raft;

import cacheproxy.epoch.Message.ProposalStatus;
import cacheproxy.gossip.LocalSocket;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A socket that takes one question as a line of JSON, and answers with an exit code and a text. */
public final class PolicySocket {

    /**
     * Exit codes beside 0: refused for good, a bad policy, no majority, and an end that can't be
     * told yet.
     */
    static final int REFUSED = 1;

    static final int INVALID_POLICY = 2;
    private static final int NO_MAJORITY = 3;
    private static final int UNKNOWN = 4;
    private static final int MAX_REQUEST_BYTES = 1 << 18;

    /** A proposal is answered within its own patience. */
    private static final int READ_TIMEOUT_S = 20;

    private PolicySocket() {}

    static LocalSocket open(
            Path path, EventLoop loop, BiConsumer<JsonObject, Consumer<JsonObject>> handler)
            throws IOException, InterruptedException {
        return LocalSocket.open(
                path,
                loop,
                channel ->
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(READ_TIMEOUT_S),
                                        new LineBasedFrameDecoder(MAX_REQUEST_BYTES),
                                        new SimpleChannelInboundHandler<ByteBuf>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext ctx, ByteBuf line) {
                                                try {
                                                    handler.accept(
                                                            JsonParser.parseString(
                                                                            line.toString(
                                                                                    StandardCharsets
                                                                                            .UTF_8))
                                                                    .getAsJsonObject(),
                                                            a -> reply(ctx, a));
                                                } catch (JsonParseException
                                                        | IllegalStateException
                                                        | NullPointerException e) {
                                                    reply(ctx, answer(REFUSED, "no question"));
                                                }
                                            }

                                            @Override
                                            public void exceptionCaught(
                                                    ChannelHandlerContext ctx, Throwable cause) {
                                                ctx.close();
                                            }
                                        }));
    }

    private static void reply(ChannelHandlerContext ctx, JsonObject answer) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(answer.toString(), StandardCharsets.UTF_8))
                .addListener(ChannelFutureListener.CLOSE);
    }

    static JsonObject answer(int exit, String text) {
        JsonObject json = new JsonObject();
        json.addProperty("exit", exit);
        json.addProperty("text", text);
        return json;
    }

    static int exit(ProposalStatus ending) {
        return switch (ending) {
            case IN_FORCE -> 0;
            case REFUSED -> REFUSED;
            case NO_MAJORITY -> NO_MAJORITY;
            case UNKNOWN -> UNKNOWN;
        };
    }

    /** What came back: the exit code and what to print. */
    public record Answer(int exit, String text) {

        /** How a proposal ended; a bad policy is refused. */
        public ProposalStatus ending() {
            return switch (exit) {
                case 0 -> ProposalStatus.IN_FORCE;
                case NO_MAJORITY -> ProposalStatus.NO_MAJORITY;
                case UNKNOWN -> ProposalStatus.UNKNOWN;
                default -> ProposalStatus.REFUSED;
            };
        }
    }

    /**
     * Asks the proxy behind a socket; for the command line and the laboratory. {@code content} and
     * {@code epoch} as the question needs.
     */
    public static Answer ask(Path path, String question, String content, long epoch)
            throws IOException {
        JsonObject request = new JsonObject();
        request.addProperty("ask", question);
        request.addProperty("content", content);
        request.addProperty("epoch", epoch);
        try {
            JsonObject answer =
                    JsonParser.parseString(LocalSocket.ask(path, request + "\n")).getAsJsonObject();
            return new Answer(answer.get("exit").getAsInt(), answer.get("text").getAsString());
        } catch (JsonParseException | IllegalStateException e) {
            throw new IOException("no whole answer");
        }
    }
}
