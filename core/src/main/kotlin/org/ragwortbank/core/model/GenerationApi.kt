package org.ragwortbank.core.model

/** The endpoint of the engines' API that a request is meant for. */
enum class GenerationApi {
    /** Completion of a prompt. */
    COMPLETIONS,

    /** Completion of a conversation by its next message. */
    CHAT,
}
