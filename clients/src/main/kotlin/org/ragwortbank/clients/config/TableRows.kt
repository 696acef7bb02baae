package org.ragwortbank.clients.config

import kotlinx.serialization.Serializable

/** Stored form of a route. */
@Serializable
internal data class RouteRow(
    val name: String,
    val pool: String,
    val adapter: String? = null,
    val version: String? = null,
    val accounts: List<String> = emptyList(),
    val open: Boolean = false,
    val idempotent: Boolean? = null,
)

/** Stored form of a pool. */
@Serializable
internal data class PoolRow(
    val name: String,
    val kind: String,
    val upstreams: List<String>,
)

/** Stored form of an account. */
@Serializable
internal data class AccountRow(
    val name: String,
    val rate: Long,
    val burst: Long,
)

/** Stored form of a key. */
@Serializable
internal data class KeyRow(
    val hash: String,
    val account: String,
)

/** Some rows of the operators' tables; a chunk holds rows of one kind only. */
@Serializable
internal data class Chunk(
    val routes: List<RouteRow> = emptyList(),
    val pools: List<PoolRow> = emptyList(),
    val accounts: List<AccountRow> = emptyList(),
    val keys: List<KeyRow> = emptyList(),
)

/**
 * Names the chunks that make up one version of the tables.
 *
 * @property chunks names of the chunks, by kind and index; an empty chunk has an empty name
 * @property changes identifiers of the latest changes, by which a writer that got no response finds its own
 */
@Serializable
internal data class Root(
    val version: Long,
    val chunks: ChunkNames = ChunkNames(),
    val changes: List<String> = emptyList(),
)

/** Names of the chunks of each table. */
@Serializable
internal data class ChunkNames(
    val routes: List<String> = emptyList(),
    val pools: List<String> = emptyList(),
    val accounts: List<String> = emptyList(),
    val keys: List<String> = emptyList(),
) {
    /** All names except those of empty chunks. */
    fun nonEmptyNames(): Set<String> = (routes + pools + accounts + keys).filter { it.isNotEmpty() }.toSet()
}
