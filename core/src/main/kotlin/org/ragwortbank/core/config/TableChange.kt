package org.ragwortbank.core.config

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.RouteName

/** One changed row of the operators' tables; [path] names the row. */
sealed interface TableChange {
    /** Table and name of the row. */
    val path: String

    /** Add or replace a route. */
    data class PutRoute(val route: Route) : TableChange {
        override val path: String get() = "routes.${route.name}"
    }

    /** Remove a route. */
    data class RemoveRoute(val name: RouteName) : TableChange {
        override val path: String get() = "routes.$name"
    }

    /** Add or replace a pool. */
    data class PutPool(val pool: Pool) : TableChange {
        override val path: String get() = "pools.${pool.name}"
    }

    /** Remove a pool. */
    data class RemovePool(val name: PoolName) : TableChange {
        override val path: String get() = "pools.$name"
    }

    /** Add or replace the agreement of an account. */
    data class PutAccount(val account: Account) : TableChange {
        override val path: String get() = "accounts.${account.id}"
    }

    /** Remove the agreement of an account. */
    data class RemoveAccount(val id: AccountId) : TableChange {
        override val path: String get() = "accounts.$id"
    }

    /** Issue a key to an account. */
    data class IssueKey(val key: AccountKey) : TableChange {
        override val path: String get() = "keys.${key.hash}"
    }

    /** Revoke a key. */
    data class RevokeKey(val hash: KeyHash) : TableChange {
        override val path: String get() = "keys.$hash"
    }
}
