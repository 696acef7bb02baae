package org.ragwortbank.clients.http

import java.util.UUID
import java.util.concurrent.atomic.AtomicLong

/** Ids of calls, which no other call of this or another process bears. */
class CallIds {
    private val prefix = UUID.randomUUID().toString()
    private val lastNumber = AtomicLong()

    /** A new id. */
    fun next(): String = "$prefix-${lastNumber.incrementAndGet()}"
}
