/**
 * What a run comes to: figures with dotted names, a timeline, violations, and how they are shown.
 * It reads files and writes files, and knows nothing of sockets. Start reading at {@link
 * cacheproxy.lab.report.Results}.
 */
package cacheproxy.lab.report;
