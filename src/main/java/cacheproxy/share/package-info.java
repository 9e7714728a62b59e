/**
 * Fleet-wide quotas: a quota is split into rights that proxies lend each other as leases, so that
 * the sum of uses never exceeds the quota under any network partition. Depends on the JDK only and
 * has no I/O, clock or threads. Start reading at {@link QuotaLeases}.
 */
package cacheproxy.share;
