package org.ragwortbank.cli.command

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.config.ConfigStore
import org.ragwortbank.clients.config.ConfigWrite
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.node.http.hashApiKey
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.security.SecureRandom
import java.util.Base64
import java.util.concurrent.Callable

/** Issues, revokes and lists the keys of callers. */
@Command(
    name = "keys",
    description = ["Issues, revokes and lists the keys of callers."],
    mixinStandardHelpOptions = true,
    subcommands = [KeysIssueCommand::class, KeysRevokeCommand::class, KeysListCommand::class],
)
class KeysCommand

/** Issues a key for an account. */
@Command(
    name = "give",
    description = ["Issues a key for an account and prints it; it can't be shown again."],
    mixinStandardHelpOptions = true,
)
class KeysIssueCommand : Callable<Int> {
    @Parameters(paramLabel = "ACCOUNT", description = ["The client account that the key authenticates."])
    private lateinit var account: String

    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int {
        val key = generateKey()
        val accountKey = AccountKey(hashApiKey(key), AccountId(account))
        val write = changeTable(store.address, TableChange.IssueKey(accountKey))
        if (write !is ConfigWrite.Stored) return reportFailure(write)
        val issuedKey = IssuedKey(key, accountKey.hash.hex, account, write.configuration.version)
        println(if (json) Json.encodeToString(IssuedKey.serializer(), issuedKey) else key)
        return ExitCode.OK.number
    }

    private fun generateKey(): String {
        val bytes = ByteArray(KEY_BYTES)
        SecureRandom().nextBytes(bytes)
        return "rwb_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    @Serializable
    private data class IssuedKey(val key: String, val hash: String, val account: String, val version: Long)

    private companion object {
        const val KEY_BYTES = 32
    }
}

/** Revokes a key. */
@Command(
    name = "withdraw",
    description = ["Revokes a key; it stops working within seconds."],
    mixinStandardHelpOptions = true,
)
class KeysRevokeCommand : Callable<Int> {
    @Parameters(
        paramLabel = "HASH",
        description = [
            "The key's hash as printed by list, or its first 8 digits or more;",
            "'-' reads the key itself from standard input.",
        ],
    )
    private lateinit var hash: String

    @Mixin
    private lateinit var store: KeyValueOptions

    override fun call(): Int {
        val hashPrefix = if (hash == "-") hashApiKey(readln().trim()).hex else hash.lowercase()
        return when {
            hashPrefix.length < MIN_HASH_DIGITS ->
                fail(ExitCode.USAGE, "found '$hashPrefix', expected $MIN_HASH_DIGITS digits or more")
            else -> PlatformClients.withConfigStore(store.address) { configStore -> revoke(configStore, hashPrefix) }
        }
    }

    private suspend fun revoke(configStore: ConfigStore, hashPrefix: String): Int {
        var matchingHashes: List<KeyHash> = emptyList()
        val write = changeTablesWithRetries(configStore) { stored ->
            matchingHashes = stored.keys.keys.filter { it.hex.startsWith(hashPrefix) }
            val hash = matchingHashes.singleOrNull()
            if (hash == null) persistentListOf() else persistentListOf(TableChange.RevokeKey(hash))
        }
        return when {
            write !is ConfigWrite.Stored -> reportFailure(write)
            matchingHashes.size != 1 ->
                fail(ExitCode.INVALID, "found ${matchingHashes.size} keys with this hash, expected 1")
            else -> reportRevoked(write)
        }
    }

    private fun reportRevoked(write: ConfigWrite.Stored): Int {
        println("withdrawn, stored version ${write.configuration.version}")
        return ExitCode.OK.number
    }

    private companion object {
        const val MIN_HASH_DIGITS = 8
    }
}

/** Lists the issued keys by their hashes. */
@Command(
    name = "list",
    description = ["Lists the hashes of all issued keys with their accounts."],
    mixinStandardHelpOptions = true,
)
class KeysListCommand : Callable<Int> {
    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int = printStoredTable(store.address, json) { tables ->
        tables.keys.values.sortedBy { it.account.value + it.hash.hex }.map { TableRow(it.hash.hex, it.account.value) }
    }
}

private fun changeTable(address: Address, change: TableChange): ConfigWrite =
    PlatformClients.withConfigStore(address) { configStore ->
        changeTablesWithRetries(configStore) { persistentListOf(change) }
    }
