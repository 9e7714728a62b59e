/**
 * Cache nodes in maintenance by operators' command, separate from their state in discovery. No
 * clock, sockets or threads; the decision module queries it for every endpoint list. Start reading
 * at {@link cacheproxy.maintenance.MaintenanceRegistry}.
 */
package cacheproxy.maintenance;
