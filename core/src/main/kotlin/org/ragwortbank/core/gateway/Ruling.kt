package org.ragwortbank.core.gateway

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a call may go on, by its route and its key. */
internal sealed interface Ruling {
    /** It may, for [account] or, on a public route, for nobody. */
    data class Yes(val route: ServingRoute, val service: ServiceName, val account: ServingAccount?) : Ruling

    /** It may not. */
    data class No(val refusal: Refusal) : Ruling
}

/** Shortest wait before a refused call may come back. */
internal val SOON = 300.milliseconds

private val NEVER: Duration = 1_000_000.seconds

/** Decides whether the route and the key of [call] allow it. */
internal fun GatewayTables.rule(call: ServingCall, now: Timestamp): Ruling {
    val config = config
    val route = config?.route(call.host, call.path)
    val service = route?.targetFor(RendezvousHash.hashOf(call.id).toInt())
    return when {
        config == null -> no(ResultCode.NO_CONFIGURATION, "none has been read yet", SOON)
        route == null -> no(ResultCode.ROUTE_UNKNOWN, "no route for ${call.host}${call.path} in ${config.version}")
        service == null -> no(ResultCode.NO_UPSTREAM, "route ${route.name} has no service", SOON)
        route.isPublic || !config.requiresKeys -> Ruling.Yes(route, service, null)
        else -> ruleKey(config, call, Ruling.Yes(route, service, null), now)
    }
}

private fun GatewayTables.ruleKey(
    config: ServingConfig,
    call: ServingCall,
    ruling: Ruling.Yes,
    now: Timestamp,
): Ruling {
    val account = call.key?.let { config.accountsByKey[it] }?.let { config.accounts[it] }
    return when {
        !hasKeyAuthority(now) ->
            no(ResultCode.KEYS_UNCONFIRMED, "last confirmed ${confirmedAgo(now)} ago", SOON)
        call.key == null -> no(ResultCode.KEY_MISSING)
        account == null -> no(ResultCode.KEY_UNKNOWN, "not in configuration ${config.version}")
        else -> ruling.copy(account = account)
    }
}

private fun no(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Ruling =
    Ruling.No(Refusal.notRun(code, detail, retryAfter))

/** How long ago the store confirmed the configuration. */
internal fun GatewayTables.confirmedAgo(now: Timestamp): Duration = confirmedAt?.let { now - it } ?: NEVER

/** Whether keys may be accepted: the store has confirmed lately that the configuration is the newest. */
internal fun GatewayTables.hasKeyAuthority(now: Timestamp): Boolean = confirmedAgo(now) <= settings.keyAuthority

/** Listed entries that have sent no digest for too long, with the time since their last one. */
internal fun GatewayTables.silences(now: Timestamp): Map<String, Duration> =
    peers.values
        .filter { it.listed }
        .associate { it.name to now - (it.heardAt ?: it.seenAt) }
        .filterValues { it > settings.peerSilence }
