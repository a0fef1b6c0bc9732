package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.ctl.budget.BudgetEditor;
import org.hibiscusreel.ctl.budget.BudgetResult;

/** Commands of the group {@code budgets}. */
public final class BudgetCommands {

  private BudgetCommands() {}

  /** A command that operates on one budget. */
  abstract static class BudgetCommand extends Command {

    @Parameter(description = "BUDGET", required = true)
    private String budget;

    abstract CompletableFuture<BudgetResult> apply(BudgetEditor editor, String budget);

    @Override
    public final int run(CommandContext context) {
      BudgetEditor editor =
          new BudgetEditor(context.platform().scheduler(), context.platform().table());
      return printResult(context, context.await(apply(editor, budget)));
    }

    private int printResult(CommandContext context, BudgetResult result) {
      if (result instanceof BudgetResult.Success success) {
        BudgetRow row = success.row();
        context.print(
            budget
                + " account="
                + row.account()
                + " granted="
                + row.granted()
                + " drawn="
                + row.drawn()
                + " undrawn="
                + row.undrawn()
                + " lean="
                + row.lean().name().toLowerCase(Locale.ROOT)
                + (success.changed() ? " changed" : " unchanged"));
        return ExitCodes.OK;
      }
      if (result instanceof BudgetResult.Refused refused) {
        context.printMessage(refused.reason());
        return ExitCodes.FAILURE;
      }
      if (result instanceof BudgetResult.Unknown unknown) {
        context.printMessage(
            "the change may have taken effect ("
                + unknown.reason()
                + "); repeat the command with the same --id");
        return ExitCodes.PLATFORM_UNREACHABLE;
      }
      context.printMessage("nothing was changed: " + ((BudgetResult.Unavailable) result).reason());
      return ExitCodes.PLATFORM_UNREACHABLE;
    }

    static void requirePositive(long tokens) {
      if (tokens <= 0) {
        throw CommandException.usageError("--tokens must be positive");
      }
    }

    static AllotmentPolicy parseLean(String name) {
      try {
        return AllotmentPolicy.valueOf(name.toUpperCase(Locale.ROOT));
      } catch (IllegalArgumentException e) {
        throw CommandException.usageError("--lean must be strict, balanced or open");
      }
    }
  }

  /** Creates a budget. */
  @Parameters(commandDescription = "Create a budget with a first top-up")
  public static final class Create extends BudgetCommand {

    @Parameter(
        names = "--account",
        required = true,
        description = "Client account that owns the budget")
    private String account;

    @Parameter(
        names = "--tokens",
        required = true,
        description = "Number of tokens granted, positive")
    private long tokens;

    @Parameter(
        names = "--lean",
        description = "Policy for sizing allotments: strict, balanced or open")
    private String lean = "balanced";

    @Parameter(
        names = "--id",
        required = true,
        description = "Identifier of the top-up; repeating it has no effect")
    private String id;

    @Override
    CompletableFuture<BudgetResult> apply(BudgetEditor editor, String budget) {
      requirePositive(tokens);
      return editor.create(budget, account, tokens, parseLean(lean), id);
    }
  }

  /** Adds tokens to a budget. */
  @Parameters(commandDescription = "Add tokens to a budget")
  public static final class TopUp extends BudgetCommand {

    @Parameter(
        names = "--tokens",
        required = true,
        description = "Number of tokens to add, positive")
    private long tokens;

    @Parameter(
        names = "--id",
        required = true,
        description = "Identifier of the top-up; repeating it has no effect")
    private String id;

    @Override
    CompletableFuture<BudgetResult> apply(BudgetEditor editor, String budget) {
      requirePositive(tokens);
      return editor.topUp(budget, tokens, id);
    }
  }

  /** Shows a budget. */
  @Parameters(commandDescription = "Show the granted, drawn and undrawn tokens of a budget")
  public static final class Balance extends BudgetCommand {

    @Override
    CompletableFuture<BudgetResult> apply(BudgetEditor editor, String budget) {
      return editor.balance(budget);
    }
  }

  /** Changes the policy for sizing the allotments of a budget. */
  @Parameters(commandDescription = "Change the policy for sizing the allotments of a budget")
  public static final class SetLean extends BudgetCommand {

    @Parameter(
        names = "--lean",
        required = true,
        description = "Policy for sizing allotments: strict, balanced or open")
    private String lean;

    @Override
    CompletableFuture<BudgetResult> apply(BudgetEditor editor, String budget) {
      return editor.setLean(budget, parseLean(lean));
    }
  }
}
