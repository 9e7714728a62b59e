/**
 * Who was asked what and when, by id: every try, every attempt that reached a machine, everything
 * that was told. After a run {@link cacheproxy.lab.ledger.Rules} prove or disprove each rule from
 * it. No I/O and no clock; start reading at {@link cacheproxy.lab.ledger.Ledger}.
 */
package cacheproxy.lab.ledger;
