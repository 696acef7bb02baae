package org.ragwortbank.standins.drill

/** A promise that was not kept, with the request that shows it, or the first of several. */
data class Breach(val promise: Promise, val request: DrillRequest, val evidence: String)
