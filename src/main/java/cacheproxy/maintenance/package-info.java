/**
 * Which cache nodes the operators have taken out, kept apart from what discovery says of them. No
 * clock, sockets or threads; the module asks it on every list. Start reading at {@link
 * cacheproxy.maintenance.Outages}.
 */
package cacheproxy.maintenance;
