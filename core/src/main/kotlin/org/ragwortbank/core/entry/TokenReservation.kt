package org.ragwortbank.core.entry

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.Work

private val idempotentMethods = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE")

/** Upper bound of the tokens that [work] consumes. */
internal fun tokensToReserve(work: Work, settings: EntrySettings): Long =
    when (work) {
        is Work.Generation -> work.promptTokens + work.maxTokens
        is Work.ServiceCall -> settings.plainCallTokens
    }

/** Tokens that [request] consumes before its first output token. */
internal fun promptTokens(request: Request): Long =
    when (val work = request.call.work) {
        is Work.Generation -> work.promptTokens
        is Work.ServiceCall -> request.reservedTokens
    }

/** Whether [call] may run more than once: the route's setting decides, then the caller's, then the kind of work. */
internal fun isRepeatable(call: Call, route: Route): Boolean =
    route.isIdempotent ?: call.isIdempotent ?: when (val work = call.work) {
        is Work.Generation -> true
        is Work.ServiceCall -> work.method in idempotentMethods
    }
