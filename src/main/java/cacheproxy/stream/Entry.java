package cacheproxy.stream;

/** A change with its sequence number in the stream; numbers start at 1 and have no gaps. */
public record Entry(long seq, Change change) {}
