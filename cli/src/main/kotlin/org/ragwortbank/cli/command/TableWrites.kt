package org.ragwortbank.cli.command

import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.map
import org.ragwortbank.clients.config.ConfigRead
import org.ragwortbank.clients.config.ConfigStore
import org.ragwortbank.clients.config.ConfigWrite
import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.model.Configuration
import java.util.UUID

private const val MAX_ATTEMPTS = 8

/** Like [changeTables], but retries when another operator changed the tables meanwhile. */
internal suspend fun changeTablesWithRetries(
    store: ConfigStore,
    changesFor: (Configuration) -> ImmutableList<TableChange>,
): ConfigWrite {
    val attemptNumbers = generateSequence(1) { it + 1 }.take(MAX_ATTEMPTS)
    val writes = attemptNumbers.asFlow().map { changeTables(store, null, changesFor) }
    return writes.firstOrNull { it !is ConfigWrite.Conflict }
        ?: ConfigWrite.Unavailable("the tables were changed by others during each of $MAX_ATTEMPTS attempts")
}

/**
 * Stores the changes that [changesFor] derives from the stored tables.
 *
 * Returns [ConfigWrite.Conflict] if [expectedVersion] is given and is not the stored version.
 */
internal suspend fun changeTables(
    store: ConfigStore,
    expectedVersion: Long? = null,
    changesFor: (Configuration) -> ImmutableList<TableChange>,
): ConfigWrite =
    when (val read = store.read()) {
        is ConfigRead.Unavailable -> ConfigWrite.Unavailable(read.cause)
        is ConfigRead.Found -> writeChanges(store, read.configuration, expectedVersion, changesFor(read.configuration))
    }

private suspend fun writeChanges(
    store: ConfigStore,
    stored: Configuration,
    expectedVersion: Long?,
    changes: ImmutableList<TableChange>,
): ConfigWrite =
    when {
        expectedVersion != null && expectedVersion != stored.version ->
            ConfigWrite.Conflict(expectedVersion, stored.version)
        changes.isEmpty() -> ConfigWrite.Stored(stored)
        else -> store.change(stored.version, changes, UUID.randomUUID().toString())
    }

/** Reports a write that was not stored, and returns the exit code. */
internal fun reportFailure(write: ConfigWrite): Int =
    when (write) {
        is ConfigWrite.Stored -> ExitCode.OK.number
        is ConfigWrite.Invalid -> reportProblems(write.problems.map { it.toString() })
        is ConfigWrite.Conflict -> fail(ExitCode.CONFLICT, conflictText(write))
        is ConfigWrite.Unavailable ->
            fail(ExitCode.UNAVAILABLE, "key-value service: ${write.cause}; nothing was changed")
        is ConfigWrite.Unknown -> fail(ExitCode.UNKNOWN, "key-value service: ${write.cause}; the change may be stored")
    }

private fun conflictText(conflict: ConfigWrite.Conflict): String {
    val foundVersion = conflict.present?.let { ", found version $it" }.orEmpty()
    return "the tables were changed meanwhile: expected version ${conflict.base}$foundVersion; nothing was changed"
}
