package larkworks.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.List;
import larkworks.platform.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection to discovery. It carries one call at a time and passes on each answer when it is complete. */
final class DiscoveryConnection {

    /** Receives what happens on a connection. */
    interface Listener {

        /** Called whenever bytes of the answer to the call arrive. */
        void answerBytesReceived(DiscoveryCall call);

        /** Called when the answer to the call turns out not to be a valid list; {@link #answered} follows. */
        void invalidListReceived(DiscoveryCall call);

        /**
         * Called when an answer is complete.
         *
         * @param listing the list that it contained; null if it contained no valid one
         */
        void answered(DiscoveryCall call, HttpResponse response, Listing listing);

        /** Called when the connection has closed, also if {@link #close} closed it. */
        void closed(DiscoveryConnection connection);
    }

    /** Header by which {@code larkworks.registry} names the epoch of its data; versions compare within it. */
    static final String EPOCH_HEADER = "X-Registry-Epoch";
    /** Header of a registry replica that has had no contact with a leader for too long. */
    static final String STALE_HEADER = "X-Registry-Stale";

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    private static final HttpHeadersFactory HEADERS = ResponseDecoder.keeping(EPOCH_HEADER, STALE_HEADER);
    private static final String INSTANCES_PATH = "/registry/instances";

    private final InetSocketAddress address;
    private final List<String> zones;
    private final Listener listener;
    /** Null until the connection is being opened, and if the system provided no socket. */
    private Channel channel;
    /** The call that is being answered; null between calls. */
    private DiscoveryCall call;

    /**
     * Creates a connection that is not open yet.
     *
     * @param zones the zones of the configuration, in the order of their numbers
     */
    DiscoveryConnection(InetSocketAddress address, List<String> zones, Listener listener) {
        this.address = address;
        this.zones = zones;
        this.listener = listener;
    }

    /** Adds the handlers of a channel that is being opened. */
    void addHandlers(ChannelPipeline pipeline) {
        channel = pipeline.channel();
        pipeline.addLast(new ReadNotifier(this::bytesReceived), new HttpRequestEncoder(),
                new ResponseDecoder(HEADERS), new AnswerReader());
    }

    /** Returns whether a call can be sent. */
    boolean isActive() {
        return channel != null && channel.isActive();
    }

    /** Sends a call. */
    void send(DiscoveryCall newCall) {
        call = newCall;
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                call.asksForFullList() ? INSTANCES_PATH
                        : INSTANCES_PATH + "?index=" + call.sinceIndex + "&wait="
                                + DiscoveryWaits.waitMs(call.purpose),
                Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        channel.writeAndFlush(request);
    }

    /** Closes the connection. What still arrives for its call is dropped. */
    void close() {
        call = null;
        if (channel != null) {
            channel.close();
        }
    }

    private void bytesReceived() {
        if (call != null) {
            listener.answerBytesReceived(call);
        }
    }

    /** Reads the answers. */
    private final class AnswerReader extends SimpleChannelInboundHandler<HttpObject> {
        /** The head of the answer being received, or null. Informational (1xx) answers are skipped. */
        private HttpResponse response;
        /** The reader of the answer's list; null if the answer contains no list or an invalid one. */
        private ListingReader listReader;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (call == null || part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse head
                    && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                response = head;
                listReader = head.status().code() == HttpResponseStatus.OK.code()
                        ? new ListingReader(zones) : null;
            }
            if (part instanceof HttpContent content && response != null) {
                call.addBodyBytes(content.content().readableBytes());
                readContent(content);
            }
        }

        private void readContent(HttpContent content) {
            Listing listing = null;
            boolean isLastPart = content instanceof LastHttpContent;
            try {
                if (listReader != null) {
                    listReader.read(content.content());
                    listing = isLastPart ? listReader.finish() : null;
                }
            } catch (ListingReader.InvalidListException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage())
                        .log("received an invalid list; requesting the full list");
                listReader = null;
                listener.invalidListReceived(call);
            }
            if (isLastPart) {
                HttpResponse answer = response;
                DiscoveryCall answeredCall = call;
                response = null;
                listReader = null;
                call = null;
                listener.answered(answeredCall, answer, listing);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed(DiscoveryConnection.this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
