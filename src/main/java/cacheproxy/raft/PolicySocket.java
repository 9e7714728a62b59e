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

/**
 * The operators' socket: each connection carries one request as a line of JSON, and the answer is a
 * JSON object with an exit code and a text.
 */
public final class PolicySocket {

    // Exit codes; 0 means that the request succeeded or the proposal is in force.

    /** The request was refused, and nothing will be changed. */
    static final int REFUSED = 1;

    /** The proposed policy is invalid. */
    static final int INVALID_POLICY = 2;

    /** No majority of voters can be reached. */
    private static final int NO_MAJORITY = 3;

    /** The outcome is not known yet; the proposal may still come into force. */
    private static final int UNKNOWN = 4;

    private static final int MAX_REQUEST_BYTES = 1 << 18;

    /** Longer than the 10 s after which a proposal is answered at the latest. */
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
                                                    reply(
                                                            ctx,
                                                            answer(REFUSED, "malformed request"));
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

    /** The answer to a request: the exit code, and the text for the operator. */
    public record Answer(int exit, String text) {

        /** Returns how a proposal ended; an invalid policy counts as refused. */
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
     * Sends a request to the proxy behind a socket and waits for the answer; for the command line
     * and the testbed.
     *
     * @param question {@code status}, {@code history}, {@code propose} or {@code revert}
     * @param content the policy text for {@code propose}; empty otherwise
     * @param epoch the epoch for {@code revert}; 0 otherwise
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
            throw new IOException("the answer of the policy socket is incomplete or malformed");
        }
    }
}
