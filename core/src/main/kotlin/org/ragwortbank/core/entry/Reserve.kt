package org.ragwortbank.core.entry

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.Work

private val repeatableMethods = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE")

/** Most tokens that [work] may take. */
internal fun reserveFor(work: Work, settings: EntrySettings): Long =
    when (work) {
        is Work.Generation -> work.promptTokens + work.maxTokens
        is Work.ServiceCall -> settings.plainCallTokens
    }

/** Tokens that [request] takes before its first output token. */
internal fun promptTokens(request: Request): Long =
    when (val work = request.call.work) {
        is Work.Generation -> work.promptTokens
        is Work.ServiceCall -> request.reserve
    }

/** Whether the system may repeat [call]: the route decides, then the caller's mark, then the kind of work. */
internal fun mayRepeat(call: Call, route: Route): Boolean =
    route.isIdempotent ?: call.isIdempotent ?: when (val work = call.work) {
        is Work.Generation -> true
        is Work.ServiceCall -> work.method in repeatableMethods
    }
