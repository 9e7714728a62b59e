package cacheproxy.stream;

/** A change and its place in the stream, from 1 on without gaps. */
public record Entry(long seq, Change change) {}
