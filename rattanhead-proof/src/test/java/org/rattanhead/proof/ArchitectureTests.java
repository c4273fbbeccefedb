package org.rattanhead.proof;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import com.lmax.disruptor.BusySpinWaitStrategy;
import com.lmax.disruptor.PhasedBackoffWaitStrategy;
import com.lmax.disruptor.SleepingWaitStrategy;
import com.lmax.disruptor.YieldingWaitStrategy;
import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.work.WorkOrder;
import org.rattanhead.core.work.WorkSignal;
import org.rattanhead.decision.edge.EdgeCommand;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.holder.HolderCommand;
import org.rattanhead.decision.holder.HolderEvent;
import org.rattanhead.decision.membership.MembershipEvent;

/**
 * Rules for the dependencies between modules, for threads and for message types.
 */
class ArchitectureTests {

	private static final JavaClasses PROJECT_CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.rattanhead");

	private static final Set<String> THREAD_CLASSES = Set.of("java.lang.Thread", "java.util.Timer",
			"java.util.concurrent.Executors", "java.util.concurrent.ThreadPoolExecutor",
			"java.util.concurrent.ScheduledThreadPoolExecutor", "java.util.concurrent.ForkJoinPool");

	private static final Set<String> CLOCK_METHODS = Set.of("nanoTime", "currentTimeMillis");

	private static final Set<String> SPIN_METHODS = Set.of("onSpinWait", "yield", "parkNanos");

	static Stream<Arguments> decisionRules() {
		return Stream.of(
				rule("decisions depend on core only",
						ArchRuleDefinition.classes()
							.that()
							.resideInAPackage("org.rattanhead.decision..")
							.should()
							.onlyDependOnClassesThat()
							.resideInAnyPackage("org.rattanhead.decision..", "org.rattanhead.core..", "java.lang..",
									"java.util", "java.util.function", "java.util.random", "java.util.regex",
									"java.util.stream", "com.dynatrace.hash4j..")),
				rule("decisions read no clock",
						ArchRuleDefinition.noClasses()
							.that()
							.resideInAPackage("org.rattanhead.decision..")
							.should()
							.accessTargetWhere(callTo("java.lang.System", CLOCK_METHODS))),
				rule("core depends on no other module",
						ArchRuleDefinition.noClasses()
							.that()
							.resideInAPackage("org.rattanhead.core..")
							.should()
							.dependOnClassesThat(DescribedPredicate.describe("are of other modules",
									(JavaClass type) -> type.getPackageName().startsWith("org.rattanhead")
											&& !type.getPackageName().startsWith("org.rattanhead.core")))));
	}

	static Stream<Arguments> threadRules() {
		return Stream.of(
				rule("only the ring package creates threads",
						ArchRuleDefinition.noClasses()
							.that()
							.resideOutsideOfPackage("org.rattanhead.ring..")
							.should()
							.accessTargetWhere(DescribedPredicate.describe("create threads",
									(JavaAccess<?> access) -> access.getTarget().getName().equals("<init>")
											&& THREAD_CLASSES.contains(access.getTargetOwner().getName())))),
				rule("no wait strategy spins or yields",
						ArchRuleDefinition.noClasses()
							.should()
							.dependOnClassesThat()
							.belongToAnyOf(BusySpinWaitStrategy.class, YieldingWaitStrategy.class,
									SleepingWaitStrategy.class, PhasedBackoffWaitStrategy.class)),
				rule("no thread spins while it waits",
						ArchRuleDefinition.noClasses()
							.should()
							.accessTargetWhere(callTo("java.lang.Thread", SPIN_METHODS))
							.orShould()
							.accessTargetWhere(callTo("java.util.concurrent.locks.LockSupport", SPIN_METHODS))));
	}

	static Stream<Arguments> moduleRules() {
		return Stream.of(
				rule("only the peer package uses generated messages",
						ArchRuleDefinition.noClasses()
							.that()
							.resideOutsideOfPackages("org.rattanhead.peer..", "org.rattanhead.messages..")
							.should()
							.dependOnClassesThat()
							.resideInAPackage("org.rattanhead.messages..")),
				rule("packages form no cycles",
						SlicesRuleDefinition.slices().matching("org.rattanhead.(*)..").should().beFreeOfCycles()));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource({ "decisionRules", "threadRules", "moduleRules" })
	void satisfiesRule(String name, ArchRule rule) {
		rule.check(PROJECT_CLASSES);
	}

	static List<Class<?>> messageTypes() {
		return List.of(EdgeEvent.class, EdgeCommand.class, HolderEvent.class, HolderCommand.class,
				MembershipEvent.class, WorkOrder.class, WorkSignal.class, CatalogueEntry.class);
	}

	@ParameterizedTest
	@MethodSource("messageTypes")
	void messagesAreRecords(Class<?> messageType) {
		ArchRuleDefinition.classes().that().implement(messageType).should().beRecords().check(PROJECT_CLASSES);
	}

	private static DescribedPredicate<JavaAccess<?>> callTo(String owner, Set<String> names) {
		return DescribedPredicate.describe("call " + names + " of " + owner,
				(access) -> access.getTargetOwner().getName().equals(owner)
						&& names.contains(access.getTarget().getName()));
	}

	private static Arguments rule(String name, ArchRule rule) {
		return Arguments.of(name, rule);
	}

}
