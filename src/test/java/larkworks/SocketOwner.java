package larkworks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Finds out from {@code /proc} whether a process owns the remote end of a connection on this machine. */
public final class SocketOwner {

    /** Columns of the tables {@code /proc/net/tcp} and {@code /proc/net/tcp6}. */
    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int REMOTE_ADDRESS_COLUMN = 2;
    private static final int INODE_COLUMN = 9;

    private SocketOwner() { }

    /**
     * Returns whether a process owns the remote end of a socket; false if the process has ended or the remote
     * end is closed.
     */
    public static boolean ownsRemoteEnd(Process process, Socket socket) {
        try {
            String inode = findInode(socket.getPort(), socket.getLocalPort());
            if (inode.isEmpty() || !process.isAlive()) {
                return false;
            }
            try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(
                    Path.of("/proc/" + process.pid() + "/fd"))) {
                for (Path descriptor : descriptors) {
                    if (linkTarget(descriptor).equals("socket:[" + inode + "]")) {
                        return true;
                    }
                }
            }
            return false;
        } catch (IOException | UncheckedIOException e) {
            return false;
        }
    }

    private static String linkTarget(Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (IOException e) {
            return "";  // The descriptor was closed after the directory was listed.
        }
    }

    /** Returns the inode of the socket with these ports, or "" if there is none. */
    private static String findInode(int localPort, int remotePort) throws IOException {
        for (String tableFile : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            for (String line : Files.readAllLines(Path.of(tableFile))) {
                String[] fields = line.strip().split("\\s+");
                if (parsePort(fields[LOCAL_ADDRESS_COLUMN]) == localPort
                        && parsePort(fields[REMOTE_ADDRESS_COLUMN]) == remotePort) {
                    return fields[INODE_COLUMN];
                }
            }
        }
        return "";
    }

    private static int parsePort(String address) {
        int colon = address.indexOf(':');
        return colon < 0 ? -1 : Integer.parseInt(address.substring(colon + 1), 16);
    }
}
