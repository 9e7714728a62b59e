/**
 * The results of a run: figures with dotted names, a timeline and violations, and their
 * presentation. This package reads and writes files and uses no sockets. Start reading at {@link
 * cacheproxy.lab.report.Results}.
 */
package cacheproxy.lab.report;
