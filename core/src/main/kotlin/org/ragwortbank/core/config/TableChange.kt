package org.ragwortbank.core.config

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.RouteName

/** A change of one row of the operators' tables. */
sealed interface TableChange {
    /** Table and name of the row, separated by a dot. */
    val path: String

    /** Adds or replaces a route. */
    data class PutRoute(val route: Route) : TableChange {
        override val path: String get() = "routes.${route.name}"
    }

    /** Removes a route. */
    data class RemoveRoute(val name: RouteName) : TableChange {
        override val path: String get() = "routes.$name"
    }

    /** Adds or replaces a pool. */
    data class PutPool(val pool: Pool) : TableChange {
        override val path: String get() = "pools.${pool.name}"
    }

    /** Removes a pool. */
    data class RemovePool(val name: PoolName) : TableChange {
        override val path: String get() = "pools.$name"
    }

    /** Adds or replaces an account and its rate limit. */
    data class PutAccount(val account: Account) : TableChange {
        override val path: String get() = "accounts.${account.id}"
    }

    /** Removes an account and its rate limit. */
    data class RemoveAccount(val id: AccountId) : TableChange {
        override val path: String get() = "accounts.$id"
    }

    /** Issues a key to an account. */
    data class IssueKey(val key: AccountKey) : TableChange {
        override val path: String get() = "keys.${key.hash}"
    }

    /** Revokes a key. */
    data class RevokeKey(val hash: KeyHash) : TableChange {
        override val path: String get() = "keys.$hash"
    }
}
