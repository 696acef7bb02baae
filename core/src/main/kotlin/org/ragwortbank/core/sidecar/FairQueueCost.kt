package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.Work

/** Tokens by which a run counts in the fair order. */
internal fun fairQueueCost(run: Run): Long =
    when (val work = run.command.work) {
        is Work.Generate -> work.promptTokens + work.maxTokens
        is Work.Plain -> 1
    }
