/**
 * Looks for days on which a rule breaks: draws installations, loads and overlapping faults from a
 * seed, plays them in virtual time and makes what it finds smaller. No I/O. Start reading at {@link
 * cacheproxy.lab.hunt.Hunt}.
 */
package cacheproxy.lab.hunt;
