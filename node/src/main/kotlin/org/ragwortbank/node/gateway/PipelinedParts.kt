package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Parts of later requests that arrived on a caller's connection during a request, in bounded number.
 *
 * @property budget where their bytes count; null where these aren't bounded
 */
internal class PipelinedParts(private val budget: () -> BodyBudget?) {
    private var parts: PersistentList<HttpObject> = persistentListOf()
    private var current: BodyBudget? = null
    private var countedBytes = 0L

    /** Adds [part] and takes over its reference; false, with the part released, if there is no room for it. */
    fun add(part: HttpObject): Boolean {
        val fits = parts.size < MAX_PARTS && count(part)
        if (fits) parts = parts.add(part) else ReferenceCountUtil.release(part)
        return fits
    }

    /** Removes and returns all parts, which the caller must release. */
    fun take(): List<HttpObject> {
        val taken = parts
        parts = persistentListOf()
        current?.change(countedBytes, 0)
        current = null
        countedBytes = 0
        return taken
    }

    /** Drops and releases all parts. */
    fun release() = take().forEach { ReferenceCountUtil.release(it) }

    private fun count(part: HttpObject): Boolean {
        val size = (part as? HttpContent)?.content()?.readableBytes() ?: 0
        val counting = current ?: budget().also { current = it } ?: return true
        val fits = counting.change(countedBytes, countedBytes + size)
        if (fits) countedBytes += size
        return fits
    }

    private companion object {
        const val MAX_PARTS = 64
    }
}
