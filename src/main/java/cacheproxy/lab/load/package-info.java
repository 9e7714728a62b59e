/**
 * What clients ask, drawn ahead from the seed, and how they behave when they are refused or fail.
 * No I/O and no clock; the drivers send what {@link cacheproxy.lab.load.LoadPlan} holds. Start
 * reading there.
 */
package cacheproxy.lab.load;
