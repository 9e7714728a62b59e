/**
 * The operators' address: reads their calls, one per connection, and writes the answers. It passes
 * each call to {@link cacheproxy.admin.AdminOperations} and makes no decisions itself. It may
 * depend on Netty only. Start reading at {@link cacheproxy.admin.AdminServer}.
 */
package cacheproxy.admin;
