/**
 * State that outlives a process: files that the processes of one proxy share. The package makes no
 * decisions and uses no sockets; damaged or unknown files are ignored. Start reading at {@link
 * cacheproxy.store.MaintenanceFiles}. {@link cacheproxy.store.DurableFiles}, which the key files
 * use too, changes files so that the changes survive a crash.
 */
package cacheproxy.store;
