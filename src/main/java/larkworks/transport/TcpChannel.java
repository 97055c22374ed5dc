package larkworks.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that a signal does not end. Where a read is interrupted (EINTR), the JDK's channel returns
 * a negative number, which Netty takes for the end of the connection; here the read is made again.
 */
public final class TcpChannel extends NioSocketChannel {

    /** Below this the JDK's channels tell of a call that was interrupted or would have blocked. */
    private static final int END_OF_STREAM = -1;
    /** Interrupted so often in a row, a read waits for the loop's next turn. */
    private static final int MOST_TRIES = 16;

    /** A connection to be made. */
    public TcpChannel() {
        super();
    }

    /** A connection that a listener has accepted. */
    public TcpChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        for (int i = 0; i < MOST_TRIES; i++) {
            int read = super.doReadBytes(into);
            if (read >= END_OF_STREAM) {
                return read;
            }
        }
        return 0;
    }
}
