package org.ragwortbank.core.model

/** The call of the engines' API that a request uses. */
enum class GenerationApi {
    /** Completion of a prompt. */
    COMPLETIONS,

    /** The next message of a conversation. */
    CHAT,
}
