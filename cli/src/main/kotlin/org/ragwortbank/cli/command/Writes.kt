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

/** Changes the tables by what [decide] makes of the stored ones, again when somebody else was faster. */
internal suspend fun changeTablesRepeatedly(
    store: ConfigStore,
    decide: (Configuration) -> ImmutableList<TableChange>,
): ConfigWrite {
    val writes = generateSequence(1) { it + 1 }.take(MAX_ATTEMPTS).asFlow().map { changeTables(store, null, decide) }
    return writes.firstOrNull { it !is ConfigWrite.Conflict } ?: ConfigWrite.Unavailable("too many other operators")
}

/** Changes the tables by what [decide] makes of the stored ones; [base] is the version expected, if any. */
internal suspend fun changeTables(
    store: ConfigStore,
    base: Long? = null,
    decide: (Configuration) -> ImmutableList<TableChange>,
): ConfigWrite =
    when (val read = store.read()) {
        is ConfigRead.Unavailable -> ConfigWrite.Unavailable(read.cause)
        is ConfigRead.Found -> change(store, read.configuration, base, decide(read.configuration))
    }

private suspend fun change(
    store: ConfigStore,
    present: Configuration,
    base: Long?,
    changes: ImmutableList<TableChange>,
): ConfigWrite =
    when {
        base != null && base != present.version -> ConfigWrite.Conflict(base, present.version)
        changes.isEmpty() -> ConfigWrite.Stored(present)
        else -> store.change(present.version, changes, UUID.randomUUID().toString())
    }

/** Reports a write that was not stored and returns its exit code. */
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
    val present = conflict.present?.let { ", found version $it" }.orEmpty()
    return "the tables were changed meanwhile: expected version ${conflict.base}$present; nothing was changed"
}
