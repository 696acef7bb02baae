package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.Work

/** Tokens by which a run counts in the fair order. */
internal fun tokensOf(run: Run): Long =
    when (val work = run.command.work) {
        is Work.Generation -> work.promptTokens + work.maxTokens
        is Work.ServiceCall -> 1
    }
