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

/** Gives, withdraws and lists callers' keys. */
@Command(
    name = "keys",
    description = ["Gives, withdraws and lists callers' keys."],
    mixinStandardHelpOptions = true,
    subcommands = [KeysGiveCommand::class, KeysWithdrawCommand::class, KeysListCommand::class],
)
class KeysCommand

/** Makes a key for an account. */
@Command(
    name = "give",
    description = ["Makes a key for an account and prints it; it can't be shown again."],
    mixinStandardHelpOptions = true,
)
class KeysGiveCommand : Callable<Int> {
    @Parameters(paramLabel = "ACCOUNT", description = ["The client account that the key speaks for."])
    private lateinit var account: String

    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int {
        val key = newKey()
        val accountKey = AccountKey(hashApiKey(key), AccountId(account))
        val write = changeKeys(store.address, TableChange.IssueKey(accountKey))
        if (write !is ConfigWrite.Stored) return reportFailure(write)
        val given = GivenKey(key, accountKey.hash.hex, account, write.configuration.version)
        println(if (json) Json.encodeToString(GivenKey.serializer(), given) else key)
        return ExitCode.OK.number
    }

    private fun newKey(): String {
        val bytes = ByteArray(KEY_BYTES)
        SecureRandom().nextBytes(bytes)
        return "rwb_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    @Serializable
    private data class GivenKey(val key: String, val hash: String, val account: String, val version: Long)

    private companion object {
        const val KEY_BYTES = 32
    }
}

/** Withdraws a key. */
@Command(
    name = "withdraw",
    description = ["Withdraws a key; it stops working within seconds."],
    mixinStandardHelpOptions = true,
)
class KeysWithdrawCommand : Callable<Int> {
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
        val wanted = if (hash == "-") hashApiKey(readln().trim()).hex else hash.lowercase()
        return when {
            wanted.length < MIN_DIGITS -> fail(ExitCode.USAGE, "found '$wanted', expected $MIN_DIGITS digits or more")
            else -> Platform.withConfig(store.address) { config -> withdraw(config, wanted) }
        }
    }

    private suspend fun withdraw(config: ConfigStore, wanted: String): Int {
        var matching: List<KeyHash> = emptyList()
        val write = changeTablesRepeatedly(config) { present ->
            matching = present.keys.keys.filter { it.hex.startsWith(wanted) }
            val found = matching.singleOrNull()
            if (found == null) persistentListOf() else persistentListOf(TableChange.RevokeKey(found))
        }
        return when {
            write !is ConfigWrite.Stored -> reportFailure(write)
            matching.size != 1 -> fail(ExitCode.INVALID, "found ${matching.size} keys with this hash, expected 1")
            else -> withdrawn(write)
        }
    }

    private fun withdrawn(write: ConfigWrite.Stored): Int {
        println("withdrawn, stored version ${write.configuration.version}")
        return ExitCode.OK.number
    }

    private companion object {
        const val MIN_DIGITS = 8
    }
}

/** Lists the keys that are given. */
@Command(
    name = "list",
    description = ["Lists the hashes of all given keys with their accounts."],
    mixinStandardHelpOptions = true,
)
class KeysListCommand : Callable<Int> {
    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int = showTable(store.address, json) { tables ->
        tables.keys.values.sortedBy { it.account.value + it.hash.hex }.map { TableRow(it.hash.hex, it.account.value) }
    }
}

private fun changeKeys(address: Address, change: TableChange): ConfigWrite =
    Platform.withConfig(address) { config -> changeTablesRepeatedly(config) { persistentListOf(change) } }
