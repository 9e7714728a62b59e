/**
 * The operators' address: reads their calls, one to a connection, and writes the answers. It
 * carries each call to a {@link cacheproxy.admin.AdminOperations} and decides nothing; it may touch
 * Netty alone. Start reading at {@link cacheproxy.admin.AdminServer}.
 */
package cacheproxy.admin;
