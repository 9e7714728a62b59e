/**
 * What proxies share in bounds: a fleet-wide budget split into rights that are lent for a time, so
 * that their sum in force never exceeds it under any cut. JDK alone; no I/O, no clock, no threads.
 * Start reading at {@link QuotaLeases}.
 */
package cacheproxy.share;
