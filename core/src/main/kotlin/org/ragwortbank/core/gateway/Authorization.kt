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
internal sealed interface Authorization {
    /** It may, for [account] or, on a public route, for nobody. */
    data class Granted(val route: ServingRoute, val service: ServiceName, val account: ServingAccount?) : Authorization

    /** It may not. */
    data class Denied(val refusal: Refusal) : Authorization
}

/** Shortest wait before a refused call may come back. */
internal val MIN_RETRY_AFTER = 300.milliseconds

private val NOT_CONFIRMED_YET: Duration = 1_000_000.seconds

/** Decides whether the route and the key of [call] allow it. */
internal fun GatewayTables.authorize(call: ServingCall, now: Timestamp): Authorization {
    val config = config
    val route = config?.route(call.host, call.path)
    val service = route?.targetFor(RendezvousHash.seed(call.id).toInt())
    return when {
        config == null -> denied(ResultCode.NO_CONFIGURATION, "none has been read yet", MIN_RETRY_AFTER)
        route == null -> denied(ResultCode.ROUTE_UNKNOWN, "no route for ${call.host}${call.path} in ${config.version}")
        service == null -> denied(ResultCode.NO_UPSTREAM, "route ${route.name} has no service", MIN_RETRY_AFTER)
        route.public || !config.usesKeys -> Authorization.Granted(route, service, null)
        else -> authorizeKey(config, call, Authorization.Granted(route, service, null), now)
    }
}

private fun GatewayTables.authorizeKey(
    config: ServingConfig,
    call: ServingCall,
    authorization: Authorization.Granted,
    now: Timestamp,
): Authorization {
    val account = call.key?.let { config.keys[it] }?.let { config.accounts[it] }
    return when {
        !hasConfigurationLease(now) ->
            denied(ResultCode.KEYS_UNCONFIRMED, "last confirmed ${timeSinceConfirmation(now)} ago", MIN_RETRY_AFTER)
        call.key == null -> denied(ResultCode.KEY_MISSING)
        account == null -> denied(ResultCode.KEY_UNKNOWN, "not in configuration ${config.version}")
        else -> authorization.copy(account = account)
    }
}

private fun denied(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Authorization =
    Authorization.Denied(Refusal.notRun(code, detail, retryAfter))

/** How long ago the store confirmed the configuration. */
internal fun GatewayTables.timeSinceConfirmation(now: Timestamp): Duration =
    confirmedAt?.let { now - it } ?: NOT_CONFIRMED_YET

/** Whether keys may be accepted: the store has confirmed lately that the configuration is the newest. */
internal fun GatewayTables.hasConfigurationLease(now: Timestamp): Boolean =
    timeSinceConfirmation(now) <= settings.configurationLease

/** Listed entries that have sent no digest for too long, with the time since their last one. */
internal fun GatewayTables.unresponsivePeers(now: Timestamp): Map<String, Duration> =
    peers.values
        .filter { it.isListed }
        .associate { it.name to now - (it.digestReceivedAt ?: it.addedAt) }
        .filterValues { it > settings.peerDigestTimeout }
