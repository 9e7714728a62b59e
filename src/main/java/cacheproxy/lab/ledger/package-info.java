/**
 * Records of a run: every try of a client, every attempt that reached a machine, every endpoint
 * list notification. After the run {@link cacheproxy.lab.ledger.Rules} checks each rule against
 * them. There is no I/O and no clock. Start reading at {@link cacheproxy.lab.ledger.Ledger}.
 */
package cacheproxy.lab.ledger;
