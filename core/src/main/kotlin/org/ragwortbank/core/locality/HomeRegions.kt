package org.ragwortbank.core.locality

import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.model.Region

/**
 * The regions to which a request is bound.
 *
 * @property ofRoute homes of its route; null for any region, empty for none
 * @property ofAccount homes of its client account; null for any region, empty for none
 */
data class HomeRegions(
    val ofRoute: PersistentSet<Region>? = null,
    val ofAccount: PersistentSet<Region>? = null,
) {
    /** Whether it may be served in any region. */
    val isAnywhere: Boolean get() = ofRoute == null && ofAccount == null

    /** Whether it may be served in [region]; in an unknown one, null, only if it may be served anywhere. */
    fun include(region: Region?): Boolean = ofRoute.allows(region) && ofAccount.allows(region)

    private fun PersistentSet<Region>?.allows(region: Region?): Boolean = this == null || region in this
}

/** The regions to which [request] is bound by its route and by its client account. */
internal fun GatewayTables.homesOf(request: RequestRow): HomeRegions =
    HomeRegions(
        ofRoute = request.route.homes,
        ofAccount = request.account?.let { config?.accounts?.get(it)?.homes },
    )
