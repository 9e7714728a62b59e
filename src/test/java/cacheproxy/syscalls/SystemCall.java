package cacheproxy.syscalls;

/** The system calls of the Java library's sockets that a {@link FaultSchedule} can make fail. */
public enum SystemCall {
    /** {@code socket}: a channel is opened. */
    SOCKET,
    /** {@code epoll_create}: a selector is opened. */
    EPOLL_CREATE,
    BIND,
    ACCEPT,
    /** {@code fcntl}: a socket is made non-blocking. */
    CONFIGURE,
    /** {@code connect}: the call itself fails. */
    CONNECT,
    /** The result of a connect that was in progress. */
    FINISH_CONNECT,
    READ,
    WRITE,
    /** {@code recvfrom} on a datagram socket. */
    RECVFROM,
    /** {@code sendto} on a datagram socket. */
    SENDTO,
    /** {@code epoll_wait}. */
    SELECT
}
