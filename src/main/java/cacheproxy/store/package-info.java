/**
 * What outlasts a process: files that the processes of one proxy share. Nothing here decides or
 * knows a socket; a damaged or foreign file is passed over. Start reading at {@link
 * cacheproxy.store.OutageFiles}; how a file is changed so that it outlasts a crash is {@link
 * cacheproxy.store.DurableFiles}, which key files use too.
 */
package cacheproxy.store;
