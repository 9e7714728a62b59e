package cacheproxy.syscalls;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** An error of a system call, and the exception that the Java library throws for it. */
public enum Errno {
    ECONNABORTED("Software caused connection abort"),
    ENFILE("Too many open files in system"),
    EMFILE("Too many open files"),
    ENOBUFS("No buffer space available"),
    ENOMEM("Cannot allocate memory"),
    EADDRNOTAVAIL("Cannot assign requested address"),
    ENETUNREACH("Network is unreachable"),
    EAGAIN("Resource temporarily unavailable"),
    ETIMEDOUT("Connection timed out"),
    EHOSTUNREACH("No route to host");

    private final String message;

    Errno(String message) {
        this.message = message;
    }

    /** Returns a new exception for this error of {@code call}. */
    public IOException exception(SystemCall call) {
        return switch (call) {
            case ACCEPT, READ, WRITE, CONFIGURE, EPOLL_CREATE, SELECT -> new IOException(message);
            case SOCKET, BIND, CONNECT, FINISH_CONNECT, RECVFROM, SENDTO -> socketException();
        };
    }

    /**
     * Returns a new exception for this error of a call on a datagram socket, or of a call that
     * creates or connects a socket.
     */
    public SocketException socketException() {
        return switch (this) {
            case ETIMEDOUT -> new ConnectException(message);
            case EHOSTUNREACH -> new NoRouteToHostException(message);
            case EADDRNOTAVAIL -> new BindException(message);
            default -> new SocketException(message);
        };
    }
}
