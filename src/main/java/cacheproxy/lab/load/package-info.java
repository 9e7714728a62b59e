/**
 * The requests of the clients, generated in advance from the seed, and the behavior of clients
 * after rejections and failures. There is no I/O and no clock; the drivers send the requests of
 * {@link cacheproxy.lab.load.LoadPlan}. Start reading there.
 */
package cacheproxy.lab.load;
