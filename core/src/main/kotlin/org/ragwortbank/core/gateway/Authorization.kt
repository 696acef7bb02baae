package org.ragwortbank.core.gateway

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Result of checking the route and the key of a call. */
internal sealed interface Authorization {
    /** The call may run, on behalf of [account]; null on a public route. */
    data class Granted(val route: ServingRoute, val service: ServiceName, val account: ServingAccount?) : Authorization

    /** The call is answered with [refusal]. */
    data class Denied(val refusal: Refusal) : Authorization
}

/** Shortest retry delay given to a refused caller. */
internal val MIN_RETRY_AFTER = 300.milliseconds

/** Stands for the time since a confirmation while there has been none; longer than any lease. */
private val NOT_CONFIRMED_YET: Duration = 1_000_000.seconds

/** Checks the route and the key of [call] against the configuration. */
internal fun GatewayTables.authorize(call: ServingCall, now: Timestamp): Authorization {
    val config = config
    val route = config?.route(call.host, call.path)
    val service = route?.targetFor(RendezvousHash.hashOf(call.id).toInt())
    return when {
        config == null -> denied(ResultCode.NO_CONFIGURATION, "not yet read from the store", MIN_RETRY_AFTER)
        route == null && isConfigOutdated -> denied(ResultCode.NO_CONFIGURATION, describeOutdated(), MIN_RETRY_AFTER)
        route == null ->
            denied(ResultCode.ROUTE_UNKNOWN, "no route for ${call.host}${call.path} in configuration ${config.version}")
        service == null -> denied(ResultCode.NO_UPSTREAM, "route ${route.name} has no service", MIN_RETRY_AFTER)
        route.isPublic || !requiresKeys(config) -> Authorization.Granted(route, service, null)
        else -> authorizeKey(config, call, Authorization.Granted(route, service, null), now)
    }
}

/** A later configuration may have the route. */
private fun GatewayTables.describeOutdated(): String =
    "the store has only ${config?.version}, another gateway has ${namedConfig?.version}"

/** A deployment with accounts requires keys also where its configuration lacks the list of them. */
private fun GatewayTables.requiresKeys(config: ServingConfig): Boolean =
    config.requiresKeys || Feature.ACCOUNTS in settings.features

private fun GatewayTables.authorizeKey(
    config: ServingConfig,
    call: ServingCall,
    authorization: Authorization.Granted,
    now: Timestamp,
): Authorization {
    val account = call.key?.let { config.accountsByKey[it] }?.let { config.accounts[it] }
    return when {
        !hasConfigurationLease(now) ->
            denied(ResultCode.KEYS_UNCONFIRMED, "last confirmed ${timeSinceConfirmation(now)} ago", MIN_RETRY_AFTER)
        call.key == null -> denied(ResultCode.KEY_MISSING)
        account == null -> denied(ResultCode.KEY_UNKNOWN, "key is not in configuration ${config.version}")
        else -> authorization.copy(account = account)
    }
}

private fun denied(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Authorization =
    Authorization.Denied(Refusal.notRun(code, detail, retryAfter))

/** Time since the store last confirmed the configuration. */
internal fun GatewayTables.timeSinceConfirmation(now: Timestamp): Duration =
    confirmedAt?.let { now - it } ?: NOT_CONFIRMED_YET

/** Whether keys may be accepted: the store confirmed within the lease that the configuration is the newest. */
internal fun GatewayTables.hasConfigurationLease(now: Timestamp): Boolean =
    timeSinceConfirmation(now) <= settings.configurationLease
