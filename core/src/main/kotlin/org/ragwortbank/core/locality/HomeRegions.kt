package org.ragwortbank.core.locality

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.model.Region

/**
 * The regions to which a request is bound.
 *
 * @property ofRoute homes of its route; empty for any region
 * @property ofAccount homes of its client account; empty for any region
 */
data class HomeRegions(
    val ofRoute: PersistentSet<Region> = persistentSetOf(),
    val ofAccount: PersistentSet<Region> = persistentSetOf(),
) {
    /** Whether it may be served in any region. */
    val isAnywhere: Boolean get() = ofRoute.isEmpty() && ofAccount.isEmpty()

    /** Whether it may be served in [region]; in an unknown one, null, only if it may be served anywhere. */
    fun include(region: Region?): Boolean = ofRoute.allows(region) && ofAccount.allows(region)

    private fun PersistentSet<Region>.allows(region: Region?): Boolean = isEmpty() || region in this
}

/** The regions to which [request] is bound by its route and by its client account. */
internal fun GatewayTables.homesOf(request: RequestRow): HomeRegions =
    HomeRegions(
        ofRoute = request.route.homes,
        ofAccount = request.account?.let { config?.accounts?.get(it)?.homes } ?: persistentSetOf(),
    )
